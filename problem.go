package chestnutcleat

import (
	"fmt"
	"net/http"
	"time"
)

// Code identifies the type of a Problem; codes are stable across releases.
type Code string

// Codes of problems that callers see.
const (
	CodeBadRequest     Code = "bad-request"
	CodeTooLarge       Code = "too-large"
	CodeKeyMissing     Code = "key-missing"
	CodeKeyUnknown     Code = "key-unknown"
	CodeKeyWithdrawn   Code = "key-withdrawn"
	CodeKeyExposed     Code = "key-exposed"
	CodeRouteUnknown   Code = "route-unknown"
	CodeForbidden      Code = "forbidden"
	CodeRate           Code = "rate-exceeded"
	CodePrograms       Code = "too-many-programs"
	CodeProgramUnknown Code = "program-unknown"
	CodeProgramEnded   Code = "program-ended"
	CodeOrderUnknown   Code = "order-unknown"
	CodeHistory        Code = "history-mismatch"
	CodeCallReused     Code = "call-id-reused"
	CodeBudget         Code = "budget-exhausted"
	CodeLoopLimit      Code = "loop-limit"
	CodeDeadline       Code = "deadline-exceeded"
	CodeNoUpstream     Code = "no-upstream"
	CodeBusy           Code = "busy"
	CodeCrash          Code = "crashes-upstreams"
	// CodeCrashing is CodeCrash for a request that may be retried later.
	CodeCrashing      Code = "crashing"
	CodeUpstreamError Code = "upstream-error"
	CodeInterrupted   Code = "interrupted"
	// CodeCannotResume refuses to take a stream up again where no instance may go on with it.
	CodeCannotResume     Code = "cannot-resume"
	CodeOwnerUnavailable Code = "owner-unavailable"
	CodeLeaving          Code = "leaving"
	CodeNotReady         Code = "not-ready"
	CodeInternal         Code = "internal"
)

// Codes of problems that operators see.
const (
	CodeInvalid             Code = "invalid"
	CodeBaseMissing         Code = "base-missing"
	CodeConflict            Code = "revision-conflict"
	CodePlatformUnavailable Code = "platform-unavailable"
	CodeOutcomeUnknown      Code = "outcome-unknown"
	CodeVMUnknown           Code = "vm-unknown"
)

var statusByCode = map[Code]int{
	CodeBadRequest:          http.StatusBadRequest,
	CodeTooLarge:            http.StatusRequestEntityTooLarge,
	CodeKeyMissing:          http.StatusUnauthorized,
	CodeKeyUnknown:          http.StatusUnauthorized,
	CodeKeyWithdrawn:        http.StatusUnauthorized,
	CodeKeyExposed:          http.StatusBadRequest,
	CodeRouteUnknown:        http.StatusNotFound,
	CodeForbidden:           http.StatusForbidden,
	CodeRate:                http.StatusTooManyRequests,
	CodePrograms:            http.StatusTooManyRequests,
	CodeProgramUnknown:      http.StatusNotFound,
	CodeProgramEnded:        http.StatusConflict,
	CodeOrderUnknown:        http.StatusConflict,
	CodeHistory:             http.StatusConflict,
	CodeCallReused:          http.StatusUnprocessableEntity,
	CodeBudget:              http.StatusPaymentRequired,
	CodeLoopLimit:           http.StatusConflict,
	CodeDeadline:            http.StatusGatewayTimeout,
	CodeNoUpstream:          http.StatusServiceUnavailable,
	CodeBusy:                http.StatusServiceUnavailable,
	CodeCrash:               http.StatusConflict,
	CodeCrashing:            http.StatusServiceUnavailable,
	CodeUpstreamError:       http.StatusBadGateway,
	CodeInterrupted:         http.StatusBadGateway,
	CodeCannotResume:        http.StatusServiceUnavailable,
	CodeOwnerUnavailable:    http.StatusServiceUnavailable,
	CodeLeaving:             http.StatusServiceUnavailable,
	CodeNotReady:            http.StatusServiceUnavailable,
	CodeInternal:            http.StatusInternalServerError,
	CodeInvalid:             http.StatusUnprocessableEntity,
	CodeBaseMissing:         http.StatusPreconditionRequired,
	CodeConflict:            http.StatusConflict,
	CodePlatformUnavailable: http.StatusServiceUnavailable,
	CodeOutcomeUnknown:      http.StatusGatewayTimeout,
	CodeVMUnknown:           http.StatusNotFound,
}

// Problem is an error that is returned to a caller or an operator as an RFC 9457 problem document.
type Problem struct {
	Code    Code    `json:"code"`
	Status  int     `json:"status"`
	Title   string  `json:"title"`
	Detail  string  `json:"detail,omitempty"`
	Outcome Outcome `json:"outcome"`
	// Retry is the recommended delay before a retry in seconds; zero means none.
	Retry float64 `json:"retry,omitempty"`
	Call  CallID  `json:"call,omitempty"`
}

// NewProblem returns a problem with the HTTP status of its code; a code without one gets status 500.
func NewProblem(c Code, o Outcome, format string, args ...any) *Problem {
	s, ok := statusByCode[c]
	if !ok {
		s = http.StatusInternalServerError
	}
	return &Problem{Code: c, Status: s, Title: http.StatusText(s), Detail: fmt.Sprintf(format, args...), Outcome: o}
}

// WithRetry sets the recommended delay before a retry and returns p.
func (p *Problem) WithRetry(d time.Duration) *Problem {
	p.Retry = d.Seconds()
	return p
}

// Error implements error.
func (p *Problem) Error() string {
	return fmt.Sprintf("%s (%s): %s", p.Code, p.Outcome, p.Detail)
}
