package lease

import (
	"bytes"
	"encoding/json"
	"fmt"

	"chestnutcleat.example/chestnutcleat"
)

// object encodes the records as a journalObject, urgent and new ones first, within the platform's limit.
// Each entry is encoded once: encoding and sorting all of them for every write took a quarter of a VM's processor time.
func (s *store) object(e chestnutcleat.Epoch) (data []byte, whole bool) {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"epoch":%d,"entries":[`, e)
	whole = s.encode(&b, true) && s.encode(&b, false)
	b.WriteString("]}")
	return b.Bytes(), whole
}

// encode appends the urgent entries or the others, new ones first, and reports whether all had room.
func (s *store) encode(b *bytes.Buffer, urgent bool) bool {
	for i := len(s.log) - 1; i >= 0; i-- {
		l := s.log[i]
		n, ok := s.entries[l.key]
		if !ok || n.Stamp != l.stamp || n.Record.Deleted || n.Record.Urgent != urgent {
			continue
		}
		if n.encoded == nil {
			data, err := json.Marshal(n)
			if err != nil {
				return false
			}
			n.encoded = data
			s.entries[l.key] = n
		}
		// A comma before the entry and the two brackets at the end.
		if b.Len()+len(n.encoded)+3 > chestnutcleat.MaxObjectBytes {
			return false
		}
		if last := b.Bytes()[b.Len()-1]; last == '}' {
			b.WriteByte(',')
		}
		b.Write(n.encoded)
	}
	return true
}
