// Package engine is a client for model engines: the OpenAI chat completions protocol and a control protocol for load,
// cache events, orders and pins.
package engine
