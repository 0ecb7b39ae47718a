// Package logs writes numbered events as log lines with logrus, and joins log lines of several processes into a timeline.
package logs
