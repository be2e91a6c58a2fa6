package relay

import (
	"fmt"
	"slices"
	"time"

	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/quarantine"
	"rattanline.example/rattanline/request"
)

// continuingEvents is the number of events from which on an answer counts as gone on: its
// target did not crash when it began to answer.
const continuingEvents = 2

// RecordEvent records that an event of the answer was received.
func (c *Call) RecordEvent() {
	if c.events.Add(1) == continuingEvents {
		c.recordAnswer()
	}
}

// recordAnswer records that the segments of the prompt don't crash targets.
func (c *Call) recordAnswer() {
	if s := c.forwarder.Segments; s != nil && len(c.Segments) > 0 {
		s.RecordAnswer(clock.Now(), c.Segments)
	}
}

// recordComplete records that a target has completed an answer to the request.
func (c *Call) recordComplete() {
	if c.events.Load() < continuingEvents {
		c.recordAnswer()
	}
	if q := c.forwarder.Quarantine; q != nil {
		q.RecordAnswer(c.Fingerprint)
	}
}

// mayHaveCrashed reports whether a segment of the prompt may have crashed the target of the last
// attempt, whose connection broke. Such a request isn't sent to another target.
func (c *Call) mayHaveCrashed() bool {
	f := c.forwarder
	if f.Segments == nil || c.events.Load() >= continuingEvents || f.Segments.Answered(c.Segments) {
		return false
	}
	if f.ConfirmCrash == nil {
		return true
	}
	time.Sleep(crashConfirmDelay)
	return f.ConfirmCrash(c.Target)
}

// segmentRefusal returns a refusal if a segment of the prompt crashes targets, nil otherwise.
// Assigned reports whether the request has a target, to which it is sent next.
func (c *Call) segmentRefusal(assigned bool) *request.Refusal {
	s := c.forwarder.Segments
	if s == nil {
		return nil
	}
	v := s.Check(clock.Now(), c.Segments, assigned, c.probing)
	c.suspect = v.Suspect
	if v.Probe {
		c.probing = true
		c.forwarder.Logger.Info().Str("request", c.ID).Str("target", c.Target.Name).Msg("request sent as a probe of quarantined prompt segments")
	}
	if !v.Refused {
		return nil
	}
	return &request.Refusal{
		Reason:     request.Quarantined,
		Detail:     fmt.Sprintf("targets crash when they answer the prompt segment %s (%d requests)", v.Segment.ID, v.Crashes),
		RetryAfter: v.RetryAfter,
	}
}

// AbortSegment ends the requests whose prompts have the segment and whose answers have not begun,
// before they crash their targets.
func (f *Forwarder) AbortSegment(segment request.Segment) {
	refusal := &request.Refusal{
		Reason: request.Quarantined, Detail: "targets crash when they answer the prompt segment " + segment.ID, RetryAfter: quarantineRetryAfter,
	}
	n := f.Abort(refusal, func(c *Call) bool { return c.events.Load() == 0 && slices.Contains(c.Segments, segment) })
	if n > 0 {
		f.Logger.Warn().Str("segment", segment.ID).Str("model", segment.Model).Int("requests", n).Msg("requests with a quarantined prompt segment aborted")
	}
}

// interruptionOf describes the call whose connection to its target broke.
func interruptionOf(c *Call) interruption {
	return interruption{
		request: c.ID, fingerprint: c.Fingerprint, content: c.Content, segments: c.Segments, events: int(c.events.Load()),
		sentOn: c.interrupted, sent: c.sentAt, ended: clock.Now(),
	}
}

// suspectsOf returns the requests whose segments may have caused the crash: their answers had not
// gone on.
func suspectsOf(interrupted []interruption) []quarantine.Interruption {
	var suspects []quarantine.Interruption
	for _, i := range interrupted {
		if !i.late() && len(i.segments) > 0 {
			suspects = append(suspects, quarantine.Interruption{Request: i.content, Segments: i.segments, Sent: i.sent, Ended: i.ended})
		}
	}
	return suspects
}
