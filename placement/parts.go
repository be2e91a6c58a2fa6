package placement

import (
	"time"

	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/request"
)

const (
	// keptTime is how long a target is taken to keep a part after its last use.
	keptTime = 8 * time.Second
	// maxParts bounds the parts remembered of one target.
	maxParts = 512
)

// parts remembers which prompt parts were sent to a target, and when.
type parts struct{ used map[string]clock.Instant }

func (p *parts) add(now clock.Instant, list []request.PromptSegment) {
	if p.used == nil {
		p.used = map[string]clock.Instant{}
	}
	for _, part := range list {
		p.used[part.ID] = now
	}
	if len(p.used) > maxParts {
		p.expire(now)
	}
}

// expire drops parts that are no longer taken to be kept, and, if that isn't
// enough, the older half.
func (p *parts) expire(now clock.Instant) {
	for age := keptTime; len(p.used) > maxParts/2 && age > 0; age -= keptTime / 4 {
		for id, at := range p.used {
			if now.Sub(at) > age {
				delete(p.used, id)
			}
		}
	}
}

// kept returns how many tokens of the prompt the target keeps. A part is of use
// only if all parts before it are kept too.
func (p *parts) kept(now clock.Instant, list []request.PromptSegment) int {
	tokens := 0
	for _, part := range list {
		at, ok := p.used[part.ID]
		if !ok || now.Sub(at) > keptTime {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}
