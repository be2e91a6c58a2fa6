package request

// Outcome tells a caller whether its request was run.
type Outcome string

// The outcomes of a request.
const (
	OutcomeRan     Outcome = "ran"
	OutcomeNotRun  Outcome = "not-run"
	OutcomeUnknown Outcome = "unknown"
)

// OutcomeOf returns the outcome of a request that has ended, and false before.
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
