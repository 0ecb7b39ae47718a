package engine

import "encoding/json"

// Answer is a complete response that is not streamed; fields unknown to Completion are preserved.
type Answer struct {
	Completion

	fields map[string]json.RawMessage
}

// UnmarshalJSON implements json.Unmarshaler.
func (a *Answer) UnmarshalJSON(data []byte) error {
	a.fields = nil
	if err := json.Unmarshal(data, &a.fields); err != nil {
		return err
	}
	return json.Unmarshal(data, &a.Completion)
}

// WithID encodes the answer as JSON with another id.
func (a Answer) WithID(id string) ([]byte, error) {
	out := make(map[string]any, len(a.fields)+1)
	for k, v := range a.fields {
		out[k] = v
	}
	out["id"] = id
	return json.Marshal(out)
}
