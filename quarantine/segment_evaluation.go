package quarantine

import (
	"slices"

	"github.com/rs/zerolog"

	"rattanline.example/rattanline/request"
)

// evaluate quarantines the suspect segments against which enough is known: first those with the
// most runs, then those with enough runs that were not interrupted by a crash that is thereby
// explained.
func (s *Segments) evaluate() {
	for {
		proven := s.proven()
		if len(proven) == 0 {
			break
		}
		for _, segment := range proven {
			s.quarantine(segment, s.suspicions[segment])
		}
	}
	s.findStrong()
}

// proven returns the segments against which enough is known to quarantine them. If the numbers
// of their runs differ, it returns only those with the most.
func (s *Segments) proven() []request.Segment {
	var list []request.Segment
	most := 0
	for segment, suspect := range s.suspicions {
		if suspect.quarantined || !isProven(s.unexplained(segment), s.answered.last(segment) != 0) {
			continue
		}
		list = append(list, segment)
		most = max(most, len(suspect.runs))
	}
	return slices.DeleteFunc(list, func(segment request.Segment) bool { return len(s.suspicions[segment].runs) < most })
}

// findStrong finds the quarantined segments against which there is strong evidence.
func (s *Segments) findStrong() {
	for segment, suspect := range s.suspicions {
		if suspect.quarantined && !suspect.strong && len(suspect.runs) >= strongRuns {
			suspect.strong = true
			s.strong = append(s.strong, segment)
		}
	}
}

// unexplained returns the runs of a segment without those that were interrupted by crashes that
// also interrupted a request with a quarantined segment.
func (s *Segments) unexplained(segment request.Segment) []run {
	runs := s.suspicions[segment].runs
	if len(runs) < requiredRuns {
		return nil
	}
	for name, other := range s.suspicions {
		if name != segment && other.quarantined {
			runs = slices.DeleteFunc(slices.Clone(runs), func(r run) bool { return sharesCrash(r, other.runs) })
		}
	}
	return runs
}

// quarantine starts the quarantine of a segment.
func (s *Segments) quarantine(segment request.Segment, suspect *suspicion) {
	suspect.quarantined = true
	quarantinedSegments.Inc()
	event := s.Logger.Warn().Str("segment", segment.ID).Str("model", segment.Model).Int("independent", independent(suspect.runs))
	event.Array("crashes", loggedRuns(suspect.runs)).Msg("prompt segment quarantined: targets crash when they answer it")
}

// loggedRuns returns the targets that crashed, with the daemons that saw it.
func loggedRuns(runs []run) *zerolog.Array {
	list := zerolog.Arr()
	for _, r := range runs {
		list.Str(r.target + " seen by " + r.daemon)
	}
	return list
}
