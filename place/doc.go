// Package place chooses the instance that runs a request.
package place
