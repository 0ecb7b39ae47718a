package lease

import "chestnutcleat.example/chestnutcleat/event"

// Events that this package emits.
var (
	leaseJoined        = event.LeaseJoined
	leaseLost          = event.LeaseLost
	leaseTakeover      = event.LeaseTakeover
	leaseIncomplete    = event.LeaseIncomplete
	leaseTemporary     = event.LeaseTemporary
	leaseTemporaryEnd  = event.LeaseTemporaryEnd
	leaseHandover      = event.LeaseHandover
	leaseLeft          = event.LeaseLeft
	leaseJournalFull   = event.LeaseJournalFull
	leaseFleetInvalid  = event.LeaseFleetInvalid
	leaseExpired       = event.LeaseExpired
	leaseRegained      = event.LeaseRegained
	leaseJournalFailed = event.LeaseJournalFailed
)
