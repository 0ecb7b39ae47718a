package program

import (
	"fmt"
	"strings"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
	"chestnutcleat.example/chestnutcleat/vm"
)

// Prefixes of record names.
const (
	programPrefix = "program/book/"
	callPrefix    = "program/call/"
	suspectPrefix = "program/suspect/"
)

// programData is the stored form of a program.
type programData struct {
	Customer chestnutcleat.CustomerID `json:"c"`
	Program  chestnutcleat.ProgramID  `json:"p"`
	Started  int64                    `json:"s"`
	Last     int64                    `json:"l"`
	Ended    int64                    `json:"e,omitempty"`
	Budget   chestnutcleat.Tokens     `json:"b"`
	Count    int                      `json:"n"`
	Upstream chestnutcleat.UpstreamID `json:"u,omitempty"`
	Cached   chestnutcleat.Tokens     `json:"k,omitempty"`
}

// callData is the stored form of a call.
type callData struct {
	Customer   chestnutcleat.CustomerID `json:"c"`
	Program    chestnutcleat.ProgramID  `json:"p"`
	ID         chestnutcleat.CallID     `json:"i"`
	Order      int                      `json:"#"`
	After      chestnutcleat.CallID     `json:"a,omitempty"`
	Parent     chestnutcleat.CallID     `json:"f,omitempty"`
	Route      chestnutcleat.RouteName  `json:"r"`
	Body       chestnutcleat.Digest     `json:"b"`
	Sent       *tip                     `json:"s,omitempty"`
	Tip        *tip                     `json:"t,omitempty"`
	Prompt     chestnutcleat.Tokens     `json:"m,omitempty"`
	Output     chestnutcleat.Tokens     `json:"o,omitempty"`
	Deadline   int64                    `json:"d"`
	Repeatable bool                     `json:"y,omitempty"`
	Attempt    int                      `json:"n"`
	Retries    int                      `json:"g,omitempty"`
	Started    bool                     `json:"z,omitempty"`
	Ran        bool                     `json:"j,omitempty"`
	// Silent is set if no entry VM is known to run the attempt.
	Silent   bool                       `json:"S,omitempty"`
	Ticket   chestnutcleat.TicketID     `json:"k,omitempty"`
	Holder   chestnutcleat.RequestID    `json:"h,omitempty"`
	Charged  chestnutcleat.Tokens       `json:"q,omitempty"`
	Reserved chestnutcleat.Tokens       `json:"v,omitempty"`
	Allowed  chestnutcleat.Tokens       `json:"l,omitempty"`
	Usage    *chestnutcleat.Usage       `json:"u,omitempty"`
	Crashes  int                        `json:"x,omitempty"`
	Avoid    []chestnutcleat.UpstreamID `json:"w,omitempty"`
	Ended    int64                      `json:"e,omitempty"`
	Answer   *chestnutcleat.Answer      `json:"A,omitempty"`
}

func programName(k chestnutcleat.Key) string { return programPrefix + k.ID }

func callName(k chestnutcleat.Key, id chestnutcleat.CallID) string {
	return fmt.Sprintf("%s%d:%s/%s", callPrefix, len(k.ID), k.ID, id)
}

func attemptID(p *program, c *call) chestnutcleat.RequestID {
	return chestnutcleat.RequestID(fmt.Sprintf("%s/%d", callName(p.key, c.ID), c.attempt))
}

// append writes records to the journal; done may be nil.
func (m *Manager) append(urgent bool, done func(error), records ...chestnutcleat.Record) {
	for i := range records {
		records[i].Urgent = urgent
	}
	m.Journal.Append(records, func(err error) {
		if done != nil {
			done(err)
		} else if err != nil {
			m.emit(event.ProgramJournal, "error", err)
		}
	})
}

func (m *Manager) record(s chestnutcleat.Slot, name string, v any) chestnutcleat.Record {
	data, err := vm.Encode(v)
	if err != nil {
		// The record types have only fields that can be encoded.
		panic(err)
	}
	m.sequence++
	return chestnutcleat.Record{Slot: s, Name: name, Sequence: m.sequence, Data: data}
}

func (m *Manager) deleted(s chestnutcleat.Slot, name string) chestnutcleat.Record {
	m.sequence++
	return chestnutcleat.Record{Slot: s, Name: name, Sequence: m.sequence, Deleted: true}
}

func (m *Manager) programRecord(p *program) chestnutcleat.Record {
	p.recorded = true
	d := programData{
		Customer: p.customer, Program: p.id, Started: p.started.UnixNano(), Last: p.lastActive.UnixNano(), Ended: nanos(p.endedAt),
		Budget: p.budget, Count: p.count, Upstream: p.upstream, Cached: p.cached,
	}
	return m.record(p.key.Slot(), programName(p.key), d)
}

// callRecord returns the record of a call; an answer body of more than limit bytes is left out.
func (m *Manager) callRecord(p *program, c *call, limit int) chestnutcleat.Record {
	d := callData{
		Customer: p.customer, Program: p.id, ID: c.ID, Order: indexOf(p.order, c.ID), After: c.After, Parent: c.Parent, Route: c.Route, Body: c.BodyDigest,
		Sent: tipData(c.sentTip), Tip: tipData(c.tip), Prompt: c.Prompt, Output: c.Output, Deadline: c.Deadline.UnixNano(), Repeatable: c.Repeatable,
		Attempt: c.attempt, Retries: c.retries, Started: c.started || c.starting, Ran: c.mayHaveRun, Silent: c.abandoned, Ticket: c.ticket, Holder: c.holder,
		Charged: c.lostCharge, Reserved: c.reserved, Allowed: c.output, Crashes: c.crashes, Avoid: c.avoid, Ended: nanos(c.endedAt),
	}
	if c.used != (chestnutcleat.Usage{}) {
		d.Usage = &c.used
	}
	if c.answer != nil {
		a := *c.answer
		if len(a.Body) > limit {
			a.Body, a.BodyDropped = nil, true
		}
		d.Answer = &a
	}
	return m.record(p.key.Slot(), callName(p.key, c.ID), d)
}

func tipData(t tip) *tip {
	if t.Length == 0 {
		return nil
	}
	return &t
}

func nanos(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

func indexOf(order []chestnutcleat.CallID, id chestnutcleat.CallID) int {
	for i, o := range order {
		if o == id {
			return i
		}
	}
	return len(order)
}

func isProgram(name string) bool { return strings.HasPrefix(name, programPrefix) }

func isCall(name string) bool { return strings.HasPrefix(name, callPrefix) }
