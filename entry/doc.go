// Package entry is the HTTP handler of an entry VM: it authenticates callers' requests, applies limits and budgets, forwards
// them to instances, retries where the route allows it and relays the responses.
package entry
