// Package engine speaks the OpenAI chat completions protocol and the control protocol of model engines.
package engine
