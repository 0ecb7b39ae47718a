package event

// Events of package caller: the traffic between callers and upstreams.
var (
	AnswerMismatched  = add(601, Warning, "upstream answered with the id of another request", "Check the upstream if this is frequent.")
	UpstreamFailed    = add(602, Warning, "exchange with an upstream failed", "Check the upstream if it repeats; the attribute kind tells what failed.")
	CallNotRecorded   = add(603, Error, "end of a call could not be recorded at its program's owner", "Check the program's owner and its witnesses; a retry of the call may be answered as unknown.")
	KeyExposed        = add(604, Warning, "request had a key outside the Authorization header", "Ask the customer to replace the key.")
	AnswerWithheld    = add(605, Info, "answer withheld as the key was withdrawn", "")
	StreamInterrupted = add(606, Warning, "stream to a caller ended with an error event", "Find the cause in the events before it; the caller was told with an error event.")
	TicketLost        = add(607, Warning, "ticket could not be returned to its upstream's owner", "Check the upstream's owner; the ticket expires by itself.")
)
