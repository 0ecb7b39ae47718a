// Package event is the catalogue of log events: their numbers, severities, texts and actions for operators.
package event
