package document

import "bytes"

// maxNesting bounds the nesting depth. The parser recurses once per level: 32 MB of opening brackets exceeded Go's stack limit,
// which ends the process.
const maxNesting = 32

// tooDeepOffset returns the offset of the first bracket that exceeds maxNesting, or -1.
func tooDeepOffset(data []byte) int {
	depth := 0
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '[', '{':
			if depth++; depth > maxNesting {
				return i
			}
		case ']', '}':
			depth--
		case '"':
			i = stringEnd(data, i+1)
		case '/':
			i = commentEnd(data, i)
		}
	}
	return -1
}

// stringEnd returns the offset of the closing quote of a string.
func stringEnd(data []byte, i int) int {
	for ; i < len(data) && data[i] != '"'; i++ {
		if data[i] == '\\' {
			i++
		}
	}
	return i
}

// commentEnd returns the offset of the last byte of a comment.
func commentEnd(data []byte, i int) int {
	end := ""
	switch {
	case bytes.HasPrefix(data[i:], []byte("//")):
		end = "\n"
	case bytes.HasPrefix(data[i:], []byte("/*")):
		end = "*/"
	default:
		return i
	}
	n := bytes.Index(data[i+2:], []byte(end))
	if n < 0 {
		return len(data)
	}
	return i + 2 + n + len(end) - 1
}
