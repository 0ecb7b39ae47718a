package rate

import (
	"cmp"
	"math"
	"slices"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

const (
	// holderTokens is the least part of a customer's tokens that is worth a holder of its own.
	holderTokens = 20
	// minHolders keeps the loss of one VM small for customers with few tokens.
	minHolders = 8
)

// account is one customer's tokens as one VM sees them.
type account struct {
	// whole is what the fleet may admit in a window, rate its part per second.
	whole, rate float64
	// holders are the VMs that the whole is divided among, in the order of their scores.
	holders []chestnutcleat.VMID
	// target is this VM's part of the whole, zero if it is no holder, and part what of it is open.
	target, part float64
	used         window
	borrowed     []loan
	// demand is in requests per second, as of the time at.
	demand float64
	at     time.Time
	// asked is when the last question was sent, open whether it has no answer yet.
	asked time.Time
	open  bool
	// next is the place of the holder to ask; it differs between VMs, so that all holders are asked.
	next int
	// empty counts the answers without tokens, full is its value at the last answer with some.
	empty, full uint64
	// waiting is the number of requests that wait for tokens of other VMs.
	waiting int
	// dry is when a request last waited in vain for tokens of other VMs.
	dry time.Time
}

// question asks a VM for tokens; without tokens there is none.
type question struct {
	to     chestnutcleat.VMID
	tokens float64
}

// loan is tokens of another VM, asked for at a time.
type loan struct {
	tokens float64
	asked  time.Time
}

// usable reports whether the lender still counts the tokens as not used yet.
func (l loan) usable(now time.Time) bool {
	return elapsed(now.Sub(l.asked), now.Round(0).Sub(l.asked.Round(0))) < takeTime
}

// elapsed is the time that passed by the clock that shows more: the steady one does not count the time in which a VM is
// suspended, and the time of day may leap either way.
func elapsed(steady, day time.Duration) time.Duration { return max(steady, day.Abs()) }

// holdersOf returns the VMs that a customer's tokens are divided among. All VMs of a small fleet are; the parts that very many
// VMs would have were too small to admit a request.
func holdersOf(c chestnutcleat.CustomerID, whole float64, vms []chestnutcleat.VMID) []chestnutcleat.VMID {
	n := min(len(vms), max(minHolders, int(whole/holderTokens)))
	list := slices.Clone(vms)
	slices.SortFunc(list, func(a, b chestnutcleat.VMID) int {
		return cmp.Or(cmp.Compare(chestnutcleat.Rendezvous(string(c), b), chestnutcleat.Rendezvous(string(c), a)), cmp.Compare(a, b))
	})
	return list[:n]
}

// divide sets the holders and this VM's part.
func (a *account) divide(c chestnutcleat.CustomerID, vms []chestnutcleat.VMID, self chestnutcleat.VMID) {
	a.holders = holdersOf(c, a.whole, vms)
	a.target = 0
	if i := slices.Index(a.holders, self); i >= 0 {
		a.target = partOf(a.whole, len(a.holders), i)
	}
	a.part = min(a.part, a.target)
}

// partOf returns the part of the holder with a place among n. Parts are whole tokens, but for the first one's rest: a part of a token
// admits nothing, and lies unused at each holder.
func partOf(whole float64, n, place int) float64 {
	tokens, rest := math.Modf(whole)
	part := math.Floor(tokens / float64(n))
	if float64(place) < tokens-part*float64(n) {
		part++
	}
	if place == 0 {
		part += rest
	}
	return part
}

// grow opens this VM's part up to its target over one window: what other holders admitted in that time is not known.
func (a *account) grow(passed time.Duration) {
	a.part = min(a.target, a.part+a.target*passed.Seconds()/a.used.length.Seconds())
}

// scale follows a change of the limit by a factor. What was admitted under a higher limit must not stop the customer for a
// window under the lower one.
func (a *account) scale(factor float64) {
	a.part *= factor
	if factor < 1 {
		a.used.scale(factor)
	}
}

// advance brings the account to the present and returns the tokens of its own share that are left.
func (a *account) advance(now time.Time) float64 {
	passed := now.Sub(a.at)
	a.at = now
	a.grow(passed)
	a.demand *= math.Exp(-passed.Seconds() / demandTime.Seconds())
	a.used.forget(now)
	n := 0
	for n < len(a.borrowed) && !a.borrowed[n].usable(now) {
		n++
	}
	a.borrowed = a.borrowed[n:]
	return a.part - a.used.total
}

// lent is what is left of other VMs' tokens.
func (a *account) lent() float64 {
	total := 0.0
	for _, l := range a.borrowed {
		total += l.tokens
	}
	return total
}

// need is what this VM lacks beside its own tokens that are left: a token for each request that waits, and those for what is
// likely to come before an answer to the next question.
func (a *account) need(own float64) float64 {
	return math.Floor(max(0, float64(a.waiting)+math.Floor(a.demand*reserveTime.Seconds())-max(0, math.Floor(own))-a.lent()))
}

// spare is what another VM may have: all but the tokens for what waits or comes here soon. Parts of tokens are not lent, as
// they would lie unused at the many VMs that ask for the last ones.
func (a *account) spare(own float64) float64 {
	return math.Floor(max(0, own-float64(a.waiting)-a.demand*keepTime.Seconds()))
}

// take uses one token, other VMs' first, as they must be used soon.
func (a *account) take(own float64, now time.Time) bool {
	for i := range a.borrowed {
		if a.borrowed[i].tokens >= 1 {
			a.borrowed[i].tokens--
			return true
		}
	}
	if own < 1 {
		return false
	}
	a.used.add(now, 1)
	return true
}

// ask returns the holder to ask for what this VM needs: one after the other, each once the one before has answered or had
// the time to. Several at once would lend the same tokens twice.
func (a *account) ask(self chestnutcleat.VMID, own float64, now time.Time) question {
	need := a.need(own)
	if need < 1 || (a.open && now.Sub(a.asked) < answerTime) {
		return question{}
	}
	if a.open {
		a.next++
	}
	for range a.holders {
		if id := a.holders[a.next%len(a.holders)]; id != self {
			a.asked, a.open = now, true
			return question{to: id, tokens: need}
		}
		a.next++
	}
	return question{}
}

// answered notes the answer to a question. A holder that has tokens is asked again.
func (a *account) answered(l loan) {
	a.open = false
	if l.tokens <= 0 {
		a.next++
		a.empty++
		return
	}
	a.full = a.empty
	a.borrowed = append(a.borrowed, l)
}

// isEmpty reports whether all other holders have answered without tokens since the count of such answers had a value.
func (a *account) isEmpty(self chestnutcleat.VMID, since uint64) bool {
	others := len(a.holders)
	if slices.Contains(a.holders, self) {
		others--
	}
	return a.empty-max(since, a.full) >= uint64(max(1, others))
}
