package program

import "chestnutcleat.example/chestnutcleat"

// retain keeps an answer and drops the oldest bodies above the bound.
func (b *Book) retain(c *call, a chestnutcleat.Answer) {
	c.answer = &a
	b.retained += int64(len(a.Body))
	if len(a.Body) > 0 {
		b.answers = append(b.answers, c)
	}
	bound := b.Retained
	if bound == 0 {
		bound = defaultRetained
	}
	for b.retained > bound && len(b.answers) > 0 {
		b.discard(b.answers[0])
		b.answers = b.answers[1:]
	}
}

// discard drops the body of an answer.
func (b *Book) discard(c *call) {
	if c.answer == nil || c.answer.Body == nil {
		return
	}
	b.retained -= int64(len(c.answer.Body))
	a := *c.answer
	a.Body = nil
	a.Dropped = true
	c.answer = &a
}
