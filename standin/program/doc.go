// Package program plays agent programs of the users' platform: callers that send turns and calls of tools over HTTP and look at
// each answer.
package program
