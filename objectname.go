package chestnutcleat

// ObjectName names an object of the platform, with parts separated by slashes.
type ObjectName string
