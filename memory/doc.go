// Package memory limits the memory that the bodies of requests and answers in progress take together.
package memory
