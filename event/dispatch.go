package event

// Events of package dispatch.
var (
	UpstreamDown          = add(551, Warning, "upstream gets no requests after failures", "Check the upstream.")
	UpstreamProbed        = add(552, Info, "upstream answered a probe and gets one request", "")
	UpstreamUp            = add(553, Info, "upstream gets requests again", "")
	TicketExpired         = add(554, Warning, "ticket was not returned in time", "Check the VM that held the ticket.")
	RequestExpired        = add(555, Info, "queued request reached its deadline", "")
	OrderIssued           = add(556, Info, "order sent to an engine", "")
	OrderFailed           = add(557, Warning, "order to an engine failed; it is repeated", "Check the engine.")
	PinReleased           = add(558, Info, "pin without an owner released on an engine", "")
	CachePredictionMissed = add(559, Info, "engine's cache held less than the index expected", "")
)
