package event

// Events of package member.
var (
	MemberJoined    = add(201, Info, "a VM joined", "")
	MemberSuspected = add(202, Warning, "a VM did not answer probes", "Nothing for a single event; check the VM and its network if it repeats.")
	MemberGone      = add(203, Warning, "a VM was declared gone", "Check the VM and its network.")
	MemberRefuted   = add(204, Info, "this VM refuted a suspicion about itself", "")
	MemberRejoined  = add(205, Warning, "this VM was declared gone and rejoined with a higher incarnation", "Check the network and pauses of this VM.")
	MemberPaused    = add(206, Warning, "the control goroutine was paused", "Check the load of this VM.")
)
