package lease

import (
	"bytes"
	"encoding/json"
	"fmt"

	"chestnutcleat.example/chestnutcleat"
)

// encodeJournal encodes the records as a journalObject within the platform's size limit, urgent ones first and then newest
// first; complete is false if some did not fit. The JSON of each entry is cached: encoding and sorting all entries for every
// write took a quarter of a VM's processor time.
func (s *store) encodeJournal(e chestnutcleat.Epoch) (data []byte, complete bool) {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"epoch":%d,"entries":[`, e)
	complete = s.encodeEntries(&b, true) && s.encodeEntries(&b, false)
	b.WriteString("]}")
	return b.Bytes(), complete
}

// encodeEntries appends the urgent entries or the others, newest first, and reports whether all of them fit.
func (s *store) encodeEntries(b *bytes.Buffer, urgent bool) bool {
	for i := len(s.log) - 1; i >= 0; i-- {
		l := s.log[i]
		entry, ok := s.entries[l.key]
		if !ok || entry.Index != l.index || entry.Record.Deleted || entry.Record.Urgent != urgent {
			continue
		}
		if entry.encoded == nil {
			data, err := json.Marshal(entry)
			if err != nil {
				return false
			}
			entry.encoded = data
			s.entries[l.key] = entry
		}
		// 3 bytes for a comma before the entry and the closing brackets.
		if b.Len()+len(entry.encoded)+3 > chestnutcleat.MaxObjectBytes {
			return false
		}
		if last := b.Bytes()[b.Len()-1]; last == '}' {
			b.WriteByte(',')
		}
		b.Write(entry.encoded)
	}
	return true
}
