// Package process assembles one VM's process: listeners, control state, traffic and graceful shutdown.
package process
