package event

// Events of the start and stop of a process.
var (
	Started             = add(701, Info, "process started", "")
	Stopping            = add(702, Info, "graceful shutdown started", "")
	Stopped             = add(703, Info, "process stopped", "")
	RequestsInterrupted = add(704, Error, "shutdown interrupted requests", "Raise grace in the settings if requests take longer than it.")
	HandoverFailed      = add(705, Warning, "slots were not handed over; other VMs take them over when the lease ends", "Nothing if the platform was down; otherwise check the platform and the other VMs.")
	RequestInterrupted  = add(706, Error, "request interrupted by the shutdown", "Compare its age with the time since event 702; raise grace in the settings if requests take longer than it.")
)
