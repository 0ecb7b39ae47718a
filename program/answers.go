package program

import "chestnutcleat.example/chestnutcleat"

// retainAnswer keeps a call's answer and drops the oldest bodies if all together exceed the limit.
func (b *Manager) retainAnswer(c *call, a chestnutcleat.Answer) {
	c.answer = &a
	b.retained += int64(len(a.Body))
	if len(a.Body) > 0 {
		b.answers = append(b.answers, c)
	}
	bound := b.MaxRetained
	if bound == 0 {
		bound = defaultRetained
	}
	for b.retained > bound && len(b.answers) > 0 {
		b.dropBody(b.answers[0])
		b.answers = b.answers[1:]
	}
}

// dropBody drops the body of a call's answer and marks the answer as dropped.
func (b *Manager) dropBody(c *call) {
	if c.answer == nil || c.answer.Body == nil {
		return
	}
	b.retained -= int64(len(c.answer.Body))
	a := *c.answer
	a.Body = nil
	a.BodyDropped = true
	c.answer = &a
}
