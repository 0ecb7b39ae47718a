package program

import "chestnutcleat.example/chestnutcleat"

// retainAnswer keeps a call's answer and drops the oldest bodies if all together exceed the limit.
func (m *Manager) retainAnswer(c *call, a chestnutcleat.Answer) {
	c.answer = &a
	m.retained += int64(len(a.Body))
	if len(a.Body) > 0 {
		m.answers = append(m.answers, c)
	}
	bound := m.MaxRetained
	if bound == 0 {
		bound = defaultRetained
	}
	for m.retained > bound && len(m.answers) > 0 {
		m.dropBody(m.answers[0])
		m.answers = m.answers[1:]
	}
}

// dropBody drops the body of a call's answer and marks the answer as dropped.
func (m *Manager) dropBody(c *call) {
	if c.answer == nil || c.answer.Body == nil {
		return
	}
	m.retained -= int64(len(c.answer.Body))
	a := *c.answer
	a.Body = nil
	a.BodyDropped = true
	c.answer = &a
}
