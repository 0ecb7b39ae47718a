package chestnutcleat

// Tokens counts model tokens.
type Tokens int64

// Epoch is the fencing token of a VM's lease.
type Epoch uint64

// Incarnation distinguishes the runs of one VM.
type Incarnation uint64

// Revision numbers the accepted manifests.
type Revision uint64

// Sequence orders the records of one owner.
type Sequence uint64

// Version is the platform's version of an object; zero means that it does not exist.
type Version uint64

// Level is the fairness level of a customer; level 0 is served first.
type Level int
