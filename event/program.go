package event

// Events of package program.
var (
	ProgramCrash         = add(401, Warning, "an upstream died while it ran a call", "Check the upstream and the request that it ran.")
	ProgramSuspect       = add(402, Error, "a request crashes upstreams and is refused", "Ask the customer about the request.")
	ProgramLateSettle    = add(403, Info, "a late report of an old attempt was dropped", "")
	ProgramUnknown       = add(404, Warning, "a non-repeatable call ended with unknown outcome", "Check at the service whether the call ran.")
	ProgramJournal       = add(406, Warning, "records of a program could not be stored", "Check the witnesses and the network.")
	ProgramLoop          = add(407, Warning, "a program reached a loop limit", "Ask the customer whether the program is meant to make so many calls; raise limits.calls if so.")
	ProgramRecordInvalid = add(408, Error, "a record of a program could not be read", "Report the log line as a fault of chestnutcleat. The call is forgotten, so compare non-repeatable calls of that program with the service.")
	ProgramReportMissing = add(409, Warning, "an entry VM did not report the end of a call in time", "Check the entry VM.")
	ProgramOverBudget    = add(410, Warning, "a call used more tokens than were reserved", "Check the token estimate of the route.")
)
