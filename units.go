package chestnutcleat

// Tokens is a number of model tokens.
type Tokens int64

// Epoch numbers the leases of VMs and serves as their fencing token.
type Epoch uint64

// Incarnation distinguishes the runs of one VM.
type Incarnation uint64

// Revision numbers the accepted manifests.
type Revision uint64

// Sequence orders the records of one owner.
type Sequence uint64

// Version is the platform's version of an object; zero means that the object does not exist.
type Version uint64

// Level is the fairness level of a customer; queues serve level 0 first.
type Level int
