package manifest

import (
	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/document"
)

// Parse decodes and validates a manifest; the error is a document.Errors that lists all errors.
// The revision in the text is the base of the change; the accepted manifest gets the next one.
func Parse(file string, data []byte) (chestnutcleat.Manifest, error) {
	m, d := parse(file, data)
	return m, d.Err()
}

func parse(file string, data []byte) (chestnutcleat.Manifest, *document.Document) {
	m, d := document.Decode[chestnutcleat.Manifest](file, data)
	if !d.Malformed() {
		(&validator{manifest: &m, document: d}).run()
	}
	return m, d
}
