// Package operator implements the HTTP interface for operators and its client.
package operator
