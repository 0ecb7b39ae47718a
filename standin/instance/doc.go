// Package instance is a stand-in for instances of services and engines. Each response is a function of the request, so that a
// caller can check that it is complete and belongs to the request. A stream also depends on the instance's software version; an instance goes
// on with any stream after the event that it is told, whichever version began it.
package instance
