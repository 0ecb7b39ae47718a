// Package program implements the owner's control state of programs: call order, budgets, retries and recorded answers. It
// also keeps the table of requests that crashed upstreams.
package program
