package request

// Outcome states whether a request was run.
type Outcome string

// The outcomes of a request.
const (
	OutcomeRan     Outcome = "ran"
	OutcomeNotRun  Outcome = "not-run"
	OutcomeUnknown Outcome = "unknown"
)

// OutcomeOf returns the outcome of a request that has ended. It returns false if
// the request has not ended.
func OutcomeOf(s State) (Outcome, bool) {
	switch s := s.(type) {
	case Done:
		return s.Outcome, true
	case Refused:
		return OutcomeNotRun, true
	case Unknown:
		return OutcomeUnknown, true
	default:
		return "", false
	}
}
