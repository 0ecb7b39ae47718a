// Package operator is the HTTP interface for operators, and its client.
package operator
