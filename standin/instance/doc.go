// Package instance is a stand-in for instances of services and engines. Each response is a function of the request, so that a
// caller can check that it is complete and belongs to the request.
package instance
