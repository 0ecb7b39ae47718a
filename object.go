package chestnutcleat

// Object is a value of the platform's object API.
type Object struct {
	Name    ObjectName `json:"name"`
	Version Version    `json:"version"`
	Data    []byte     `json:"data"`
	// Deleted is set by Watch for an object that was removed.
	Deleted bool `json:"deleted,omitempty"`
}
