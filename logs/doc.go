// Package logs writes the numbered events with logrus.
package logs
