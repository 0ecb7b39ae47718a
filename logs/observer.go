package logs

import (
	"fmt"
	"io"
	"strings"

	"github.com/sirupsen/logrus"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
)

// redacted replaces the values of attributes that may contain an API key.
const redacted = "[redacted]"

// timeFormat has milliseconds, so that lines of several processes within a second can be sorted.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// reservedFields are the fields of every line; an attribute with such a name gets a prefix, as with logrus's own fields.
var reservedFields = map[string]bool{"event": true, "vm": true, "action": true}

// Observer writes events as log lines.
type Observer struct {
	logger *logrus.Entry
}

// New returns an observer that writes to w. The level is debug, info, warning or error, and the format json or text.
func New(w io.Writer, level, format string, vm chestnutcleat.VMID) (*Observer, error) {
	l := logrus.New()
	l.SetOutput(w)
	v, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	l.SetLevel(v)
	switch format {
	case "json":
		l.SetFormatter(&logrus.JSONFormatter{TimestampFormat: timeFormat})
	case "text":
		l.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: timeFormat})
	default:
		return nil, fmt.Errorf("log format %q: expected json or text", format)
	}
	return &Observer{logger: l.WithField("vm", vm)}, nil
}

// Emit implements chestnutcleat.Observer.
func (o *Observer) Emit(id chestnutcleat.EventID, attributes ...any) {
	fields := logrus.Fields{"event": int(id)}
	for i := 0; i < len(attributes); i += 2 {
		name := fmt.Sprint(attributes[i])
		if reservedFields[name] {
			name = "fields." + name
		}
		if i+1 == len(attributes) {
			fields["unnamed"] = redacted
			break
		}
		fields[name] = loggableValue(name, attributes[i+1])
	}
	e, ok := event.Lookup(id)
	if !ok {
		e = event.Event{Severity: event.Warning, Text: "unknown event number"}
	}
	if e.Action != "" {
		fields["action"] = e.Action
	}
	o.logger.WithFields(fields).Log(logrusLevel(e.Severity), e.Text)
}

// loggableValue returns a value that can be logged: errors and Stringers as text, possible API keys redacted.
func loggableValue(name string, v any) any {
	switch strings.ToLower(name) {
	case "key", "keys", "authorization", "bearer":
		return redacted
	}
	switch t := v.(type) {
	case error:
		return t.Error()
	case fmt.Stringer:
		return t.String()
	}
	return v
}

func logrusLevel(s event.Severity) logrus.Level {
	switch s {
	case event.Error:
		return logrus.ErrorLevel
	case event.Warning:
		return logrus.WarnLevel
	}
	return logrus.InfoLevel
}
