package chestnutcleat

// Object is an object of the Platform.
type Object struct {
	Name    ObjectName `json:"name"`
	Version Version    `json:"version"`
	Data    []byte     `json:"data"`
	// Deleted is set by Watch if the object was deleted.
	Deleted bool `json:"deleted,omitempty"`
}
