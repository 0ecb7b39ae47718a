package event

// Events of leases and ownership.
var (
	LeaseJoined        = add(101, Info, "VM joined the fleet object", "")
	LeaseLost          = add(102, Warning, "lease lost; another VM takes over the slots", "Check the load, pauses and network of this VM; it rejoins by itself.")
	LeaseTakeover      = add(103, Warning, "slots of another VM taken over", "Check why the other VM was lost and replace it if it does not return.")
	LeaseIncomplete    = add(104, Error, "records of a VM may be missing after its takeover", "Calls that may not be repeated answer unknown; compare them with the service.")
	LeaseTemporary     = add(105, Warning, "temporary ownership started while the platform is unavailable", "Restore the platform.")
	LeaseTemporaryEnd  = add(106, Info, "temporary ownership ended", "")
	LeaseHandover      = add(107, Info, "slots handed over", "")
	LeaseLeft          = add(108, Info, "VM left the fleet object", "")
	LeaseJournalFull   = add(109, Error, "journal object is full; further records are stored only by the witnesses", "Add VMs.")
	LeaseFleetInvalid  = add(110, Error, "fleet object cannot be decoded", "Restore the object from its last valid version.")
	LeaseExpired       = add(111, Warning, "lease expired without a takeover", "Check the network between this VM and its witnesses, and pauses of this VM.")
	LeaseGranted       = add(112, Info, "lease granted", "")
	LeaseJournalFailed = add(113, Warning, "journal object could not be written", "Check the platform; the write is repeated.")
)
