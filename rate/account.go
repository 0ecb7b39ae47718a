package rate

import (
	"cmp"
	"math"
	"slices"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

const (
	// minTokensPerHolder is the smallest share of a customer's tokens that is worth a holder.
	minTokensPerHolder = 20
	// minHolders keeps the share that is lost with one VM small for customers with few tokens.
	minHolders = 8
)

// account is the state of one customer's limit at this VM.
type account struct {
	// windowTokens is what the fleet may admit in a window, perSecond the rate that this amounts to.
	windowTokens, perSecond float64
	// holders are the VMs that the tokens are divided among, by falling rendezvous score.
	holders []chestnutcleat.VMID
	// targetShare is this VM's share of windowTokens, zero if it is no holder, and share the part of it that it may use by now.
	targetShare, share float64
	used               window
	borrowed           []loan
	// demand is an average of requests per second, as of updated.
	demand  float64
	updated time.Time
	// lastRequest is when this VM last asked for tokens, and outstanding is set until the answer arrives.
	lastRequest time.Time
	outstanding bool
	// nextHolder selects the holder to ask, modulo their number; its first value differs between VMs, so that all holders are asked.
	nextHolder int
	// emptyAnswers counts the answers without tokens, and emptyAtLastLoan is its value at the last answer with tokens.
	emptyAnswers, emptyAtLastLoan uint64
	// waiting is the number of requests that wait for tokens of other VMs.
	waiting int
	// activity tracks the customer's programs.
	activity activity
	// lastFutileWait is when a request last waited for tokens of other VMs and got none.
	lastFutileWait time.Time
}

// tokenRequest asks a VM for tokens; zero tokens mean no request.
type tokenRequest struct {
	to     chestnutcleat.VMID
	tokens float64
}

// loan holds tokens that were requested from another VM at a time.
type loan struct {
	tokens    float64
	requested time.Time
}

// usable reports whether the loan is younger than loanTime. The lender counts its tokens as used after strictUseDelay at the latest.
func (l loan) usable(now time.Time) bool {
	return elapsed(now.Sub(l.requested), now.Round(0).Sub(l.requested.Round(0))) < loanTime
}

// elapsed returns the larger of two measurements of the same interval. The monotonic clock stops while a VM is suspended, and the
// wall clock may be set in either direction.
func elapsed(monotonic, wall time.Duration) time.Duration { return max(monotonic, wall.Abs()) }

// chooseHolders returns the VMs that a customer's tokens are divided among. In a small fleet these are all VMs; in a large one the
// shares of all VMs would be too small to admit a request.
func chooseHolders(c chestnutcleat.CustomerID, windowTokens float64, vms []chestnutcleat.VMID) []chestnutcleat.VMID {
	n := min(len(vms), max(minHolders, int(windowTokens/minTokensPerHolder)))
	list := slices.Clone(vms)
	slices.SortFunc(list, func(a, b chestnutcleat.VMID) int {
		return cmp.Or(cmp.Compare(chestnutcleat.Rendezvous(string(c), b), chestnutcleat.Rendezvous(string(c), a)), cmp.Compare(a, b))
	})
	return list[:n]
}

// assignShare sets the holders and this VM's target share.
func (a *account) assignShare(c chestnutcleat.CustomerID, vms []chestnutcleat.VMID, self chestnutcleat.VMID) {
	a.holders = chooseHolders(c, a.windowTokens, vms)
	a.targetShare = 0
	if i := slices.Index(a.holders, self); i >= 0 {
		a.targetShare = shareOf(a.windowTokens, len(a.holders), i)
	}
	a.share = min(a.share, a.targetShare)
}

// shareOf returns the share of the holder with an index among n. Shares are whole tokens, except that the first one includes the
// fraction: a fraction of a token admits nothing and would be wasted at each holder.
func shareOf(windowTokens float64, n, index int) float64 {
	tokens, fraction := math.Modf(windowTokens)
	share := math.Floor(tokens / float64(n))
	if float64(index) < tokens-share*float64(n) {
		share++
	}
	if index == 0 {
		share += fraction
	}
	return share
}

// growShare raises this VM's share to its target over one window, as it is not known what other holders admitted in the window before.
func (a *account) growShare(passed time.Duration) {
	a.share = min(a.targetShare, a.share+a.targetShare*passed.Seconds()/a.used.length.Seconds())
}

// scale adapts the account to a limit that changed by a factor. Uses are reduced with the limit, as otherwise those under a higher
// limit could block the customer for a whole window.
func (a *account) scale(factor float64) {
	a.share *= factor
	if factor < 1 {
		a.used.scale(factor)
	}
}

// advance updates the account to the present and returns the tokens of its own share that are left.
func (a *account) advance(now time.Time) float64 {
	passed := now.Sub(a.updated)
	a.updated = now
	a.growShare(passed)
	a.demand *= math.Exp(-passed.Seconds() / demandAveragingTime.Seconds())
	a.used.expire(now)
	n := 0
	for n < len(a.borrowed) && !a.borrowed[n].usable(now) {
		n++
	}
	a.borrowed = a.borrowed[n:]
	return a.share - a.used.total
}

// left returns the tokens that this VM has left.
func (a *account) left(now time.Time) float64 { return a.advance(now) + a.borrowedLeft() }

// borrowedLeft returns the borrowed tokens that are left.
func (a *account) borrowedLeft() float64 {
	total := 0.0
	for _, l := range a.borrowed {
		total += l.tokens
	}
	return total
}

// shortfall returns the tokens that this VM lacks: one for each waiting request, less its own and borrowed ones.
func (a *account) shortfall(own float64) float64 {
	return math.Floor(max(0, float64(a.waiting)-max(0, math.Floor(own))-a.borrowedLeft()))
}

// lendable returns the whole tokens that this VM can lend, less those for waiting requests. Fractions are not lent, as they would lie
// unused at the many VMs that ask for the last tokens.
func (a *account) lendable(own float64) float64 {
	return math.Floor(max(0, own-float64(a.waiting)))
}

// token is a used token of a VM's own share or a borrowed one.
type token struct {
	borrowed bool
	// at is when the token was used, or when the borrowed one was requested.
	at time.Time
}

// take uses one token. Borrowed tokens go first, as they expire soon.
func (a *account) take(own float64, now time.Time) (t token, ok bool) {
	for i := range a.borrowed {
		if a.borrowed[i].tokens >= 1 {
			a.borrowed[i].tokens--
			return token{borrowed: true, at: a.borrowed[i].requested}, true
		}
	}
	if own < 1 {
		return token{}, false
	}
	a.used.add(now, 1)
	return token{at: now}, true
}

// giveBack returns a token that was not used after all to where it came from, for as long as it could have been used there.
func (a *account) giveBack(t token) {
	if !t.borrowed {
		a.used.remove(t.at, 1)
		return
	}
	i := 0
	for i < len(a.borrowed) && a.borrowed[i].requested.Before(t.at) {
		i++
	}
	a.borrowed = slices.Insert(a.borrowed, i, loan{tokens: 1, requested: t.at})
}

// nextRequest returns the request for the tokens that this VM lacks. One holder is asked at a time, and the next one after its
// answer or answerTimeout: several at once would each lend the same tokens.
func (a *account) nextRequest(self chestnutcleat.VMID, own float64, now time.Time) tokenRequest {
	tokens := a.shortfall(own)
	if tokens < 1 || (a.outstanding && now.Sub(a.lastRequest) < answerTimeout) {
		return tokenRequest{}
	}
	if a.outstanding {
		a.nextHolder++
	}
	for range a.holders {
		if id := a.holders[a.nextHolder%len(a.holders)]; id != self {
			a.lastRequest, a.outstanding = now, true
			return tokenRequest{to: id, tokens: tokens}
		}
		a.nextHolder++
	}
	return tokenRequest{}
}

// recordAnswer records the answer to a request. A holder that lent tokens is asked again.
func (a *account) recordAnswer(l loan) {
	a.outstanding = false
	if l.tokens <= 0 {
		a.nextHolder++
		a.emptyAnswers++
		return
	}
	a.emptyAtLastLoan = a.emptyAnswers
	a.borrowed = append(a.borrowed, l)
}

// allHoldersEmpty reports whether all other holders have answered without tokens since emptyAnswers had the given value.
func (a *account) allHoldersEmpty(self chestnutcleat.VMID, since uint64) bool {
	others := len(a.holders)
	if slices.Contains(a.holders, self) {
		others--
	}
	return a.emptyAnswers-max(since, a.emptyAtLastLoan) >= uint64(max(1, others))
}
