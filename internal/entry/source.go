package entry

import (
	"context"
	"errors"
	"slices"
	"time"

	"flamingorudder.example/internal/backend"
	"flamingorudder.example/internal/balance"
	"flamingorudder.example/internal/schedule"
)

// placeSource is what differs between streams of model groups and of plain services. The goroutine that owns the state of the stream uses it.
type placeSource interface {
	placeFinder
	answerRules
}

// placeFinder finds the places for the attempts at a stream.
type placeFinder interface {
	// rejection returns why no place may be sought now, or nil.
	rejection(now time.Time) error
	// take waits for a place that has not been tried and is not among those to avoid, beside the given number of attempts.
	take(ctx context.Context, underWay int, avoid []string) (*reservation, error)
	// withoutEvidence returns the places that have sent no event within limit, if another one has.
	withoutEvidence(limit time.Duration) []string
	// mayTry reports whether another attempt may be made after a number of them have not reached their backend server.
	mayTry(unsent int) bool
}

// answerRules tells what is sent to a backend server and what it may answer.
type answerRules interface {
	// priority is sent with the request, unless it is negative.
	priority() int
	// isStream reports whether a response with status 200 consists of events.
	isStream(r *backend.Response) bool
	// isAnswer reports whether a response that is no stream answers the request, so that no other server is asked.
	isAnswer(status int) bool
	// bounds returns the bounds of the events of a response.
	bounds(r *backend.Response) eventBounds
}

// groupSource finds places in the groups of a model.
type groupSource struct {
	s     *forwardedStream
	model schedule.Model
	ids   suspectIDs
	// tokens is the number of tokens that the request is expected to hold at a group.
	tokens int
}

func newGroupSource(s *forwardedStream) placeSource {
	return &groupSource{s: s, model: schedule.Model{Service: s.svc.Name, Name: s.x.call.Model}, ids: newSuspectIDs(s.x.hash, s.x.call.SharedParts)}
}

func (g *groupSource) rejection(now time.Time) (err error) {
	x := g.s.x
	if err := x.evacuationRejection(g.model); err != nil {
		return err
	}
	if err := x.homeRejection(g.model); err != nil {
		return err
	}
	if g.tokens, err = x.expectedTokens(g.s.svc.Engine); err != nil {
		return err
	}
	if err := x.d.quarantineRejection(now, g.ids); err != nil {
		return err
	}
	if err := x.d.dispatch.dropped(g.model); err != nil {
		return x.rejectDropped(err)
	}
	return nil
}

func (g *groupSource) take(ctx context.Context, underWay int, avoid []string) (*reservation, error) {
	s, x := g.s, g.s.x
	reserved, err := x.d.dispatch.acquire(ctx, s.svc, x.call.Model, x.org, balance.Request{
		Rank: x.rank, Prompt: x.call.PromptTokens, Tokens: g.tokens, Objective: x.route.Objective, Gap: x.route.Gap, CallerTimeout: x.call.Timeout, Fingerprint: g.ids.request,
		Arrived: x.start, Until: x.deadline, Resumed: underWay > 0 || x.mayHaveRun || x.call.LastEvent != "",
	}, x.homes, g.ids, slices.Concat(s.exclude, avoid))
	var dropped *DroppedError
	if errors.As(err, &dropped) {
		return nil, x.rejectDropped(err)
	}
	return reserved, err
}

func (g *groupSource) withoutEvidence(limit time.Duration) []string {
	return g.s.x.d.dispatch.withoutEvidence(g.model, limit, g.s.x.homes, g.s.exclude)
}

func (g *groupSource) mayTry(unsent int) bool { return unsent < maxUnsent }

// priorityLevels is the number of priorities that a model runner distinguishes.
const priorityLevels = 10

func (g *groupSource) priority() int { return min(max(g.s.x.rank, 0), priorityLevels-1) }

func (g *groupSource) isStream(*backend.Response) bool { return true }

func (g *groupSource) isAnswer(int) bool { return false }

func (g *groupSource) bounds(*backend.Response) eventBounds {
	b := eventBounds{sinceID: maxEvent}
	if n := g.s.x.call.MaxTokens; n > 0 {
		b.events = n + extraEvents
	}
	return b
}
