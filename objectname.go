package chestnutcleat

// ObjectName is the slash-separated name of an Object.
type ObjectName string
