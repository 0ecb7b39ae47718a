package jsonsplit

import (
	"bytes"
	"encoding/json"
	"fmt"
	"unicode/utf8"
)

// splitter reads JSON from a position on.
type splitter struct {
	data []byte
	pos  int
}

// EachMember calls visit with the decoded name and the value of each member of a JSON object until it returns an error. The values are
// parts of data.
func EachMember(data []byte, visit func(name, value []byte) error) error {
	s := &splitter{data: data}
	return s.eachPart('{', '}', func() error {
		name, err := s.name()
		if err != nil {
			return err
		}
		value, err := s.value()
		if err != nil {
			return err
		}
		return visit(name, value)
	})
}

// EachElement calls visit for each element of a JSON array until it returns an error. The elements are parts of data.
func EachElement(data []byte, visit func(value []byte) error) error {
	s := &splitter{data: data}
	return s.eachPart('[', ']', func() error {
		value, err := s.value()
		if err != nil {
			return err
		}
		return visit(value)
	})
}

// eachPart calls part for each part of the object or array that makes up the whole data; part reads up to the end of its value.
func (s *splitter) eachPart(opening, closing byte, part func() error) error {
	if err := s.expect(opening); err != nil {
		return err
	}
	if s.next() == closing {
		s.pos++
		return s.end()
	}
	for {
		if err := part(); err != nil {
			return err
		}
		if s.next() == closing {
			s.pos++
			return s.end()
		}
		if err := s.expect(','); err != nil {
			return err
		}
	}
}

// name reads the name of a member and the colon after it.
func (s *splitter) name() ([]byte, error) {
	if s.next() != '"' {
		return nil, s.malformed()
	}
	quoted, err := s.value()
	if err != nil {
		return nil, err
	}
	if name, ok := PlainText(quoted); ok {
		return name, s.expect(':')
	}
	var name string
	if err := json.Unmarshal(quoted, &name); err != nil {
		return nil, err
	}
	return []byte(name), s.expect(':')
}

// PlainText returns the text of a JSON string that stands for itself, without escapes.
func PlainText(quoted []byte) ([]byte, bool) {
	if len(quoted) < 2 || quoted[0] != '"' {
		return nil, false
	}
	text := quoted[1 : len(quoted)-1]
	for _, c := range text {
		if c < ' ' || c == '\\' || c >= utf8.RuneSelf {
			return nil, false
		}
	}
	return text, true
}

// value reads a value up to its last byte. It finds the end of an object or array by counting brackets of both kinds.
func (s *splitter) value() ([]byte, error) {
	s.next()
	start, depth := s.pos, 0
	for s.pos < len(s.data) {
		switch s.data[s.pos] {
		case '"':
			if !s.skipString() {
				return nil, s.malformed()
			}
		case '{', '[':
			depth++
			s.pos++
		case '}', ']':
			depth--
			s.pos++
		default:
			if depth == 0 {
				return s.literal()
			}
			s.pos++
			continue
		}
		if depth <= 0 {
			break
		}
	}
	if depth != 0 || s.pos == start {
		return nil, s.malformed()
	}
	return s.data[start:s.pos], nil
}

// literal reads a number, true, false or null without a check of its text, which is checked when it is decoded.
func (s *splitter) literal() ([]byte, error) {
	n := bytes.IndexAny(s.data[s.pos:], ",:]}{[\" \t\r\n")
	if n < 0 {
		n = len(s.data) - s.pos
	}
	if n == 0 {
		return nil, s.malformed()
	}
	s.pos += n
	return s.data[s.pos-n : s.pos], nil
}

// skipString moves past the string at the position, and reports whether it ends.
func (s *splitter) skipString() bool {
	s.pos++
	// quote is the position of the next quotation mark. It is searched for once and not after each escape, so that the time stays linear.
	quote := -1
	for s.pos < len(s.data) {
		if quote < s.pos {
			n := bytes.IndexByte(s.data[s.pos:], '"')
			if n < 0 {
				return false
			}
			quote = s.pos + n
		}
		escape := bytes.IndexByte(s.data[s.pos:quote], '\\')
		if escape < 0 {
			s.pos = quote + 1
			return true
		}
		s.pos += escape + 2
	}
	return false
}

// next skips white space and returns the byte after it, or zero at the end.
func (s *splitter) next() byte {
	for ; s.pos < len(s.data); s.pos++ {
		switch c := s.data[s.pos]; c {
		case ' ', '\t', '\r', '\n':
		default:
			return c
		}
	}
	return 0
}

// expect moves past the given byte.
func (s *splitter) expect(c byte) error {
	if s.next() != c {
		return s.malformed()
	}
	s.pos++
	return nil
}

// end returns an error if anything follows.
func (s *splitter) end() error {
	if s.next(); s.pos < len(s.data) {
		return s.malformed()
	}
	return nil
}

func (s *splitter) malformed() error { return SyntaxError(s.pos) }

// SyntaxError is the error of malformed JSON; its value is the offset of the byte that was not expected.
type SyntaxError int

// Error implements error.
func (e SyntaxError) Error() string { return fmt.Sprintf("malformed JSON at byte %d", int(e)) }
