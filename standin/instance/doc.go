// Package instance plays instances of the users' platform: plain services and engines that answer as a function of the request, so
// that a caller can tell whether an answer is whole and its own.
package instance
