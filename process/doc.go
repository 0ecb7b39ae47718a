// Package process assembles the process of one VM: listeners, control state, request handling and graceful shutdown.
package process
