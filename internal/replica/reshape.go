package replica

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"flamingorudder.example/internal/roster"
	"flamingorudder.example/internal/route"
	"flamingorudder.example/platform"
)

// # Load pattern
//
// Losses break the few groups of a large model sooner than the many of a small one, and a domain that its groups fill has
// no host to spare: three survivors of four wait until some backend server arrives, while callers of the large model are
// turned away and groups of the small one are half empty. A reshape gives some hosts of such groups the weights of the
// other model while they serve, then ends the groups in order, and the planner forms a group of the other model from them
// and the survivors.

const (
	// crowded is the pressure of a model from which a reshape is made for it: its work is turned away.
	crowded = 1.0
	// relaxed is the pressure up to which a model gives groups away, as it will be without them.
	relaxed = 0.5
	// reshapeAfter is how long a model must be crowded: healing comes first, and bursts of a moment pass.
	reshapeAfter = 2 * time.Second
	// reshapePatience is how many times a load's usual length the hosts may take until the reshape is given up.
	reshapePatience = 3
)

// reshape is hosts on their way from groups of one model to a group of another.
type reshape struct {
	to, from *route.Model
	// groups are the keys of the groups that are to end, hosts the ids of their members that get the weights.
	groups, hosts []string
	until         time.Time
}

// reshape ends the groups whose hosts have the weights of another model, and starts another reshape when one is due.
func (p *Planner) reshape(now time.Time, s *supply, groups map[string]*group) []Order {
	p.reshapes = slices.DeleteFunc(p.reshapes, func(r *reshape) bool { return r.done(now, s, groups) })
	for _, r := range p.reshapes {
		s.coming[r.to.Name]++
		for _, key := range r.groups {
			if groups[key] != nil {
				s.given[r.from.Name]++
				delete(groups, key)
			}
		}
	}
	to, from := s.unbalanced(p.engine.Models)
	if to == nil {
		p.crowded = time.Time{}
		return nil
	}
	if p.crowded.IsZero() {
		p.crowded = now
	}
	if now.Sub(p.crowded) < reshapeAfter {
		return nil
	}
	var best *reshape
	for _, domain := range slices.Sorted(maps.Keys(s.hosts)) {
		r := s.plan(domain, to, from, groups)
		if r != nil && (best == nil || cmp.Or(cmp.Compare(len(r.groups), len(best.groups)), cmp.Compare(len(r.hosts), len(best.hosts))) < 0) {
			best = r
		}
	}
	if best == nil {
		return nil
	}
	var orders []Order
	for _, m := range s.Members {
		if !slices.Contains(best.hosts, m.ID) {
			continue
		}
		if !p.mayLoad(now, s.Input) {
			return nil // all of them or none
		}
		p.loads = append(p.loads, now)
		p.staging[m.ID] = load{to.Name, m.Born, now.Add(to.Load * loadPatience)}
		orders = append(orders, Order{m.Server, platform.Order{
			Operation: platform.Stage, Model: to.Name, Fence: p.token, After: m.Orders,
		}, "groups of " + from.Name + " are to make room for one of " + to.Name})
	}
	best.until = now.Add(to.Load * reshapePatience)
	p.reshapes = append(p.reshapes, best)
	return orders
}

// unbalanced returns the model that is most crowded and the one that is least, when the second has groups to give away.
// Groups on their way relieve a model already.
func (s *supply) unbalanced(models []route.Model) (to, from *route.Model) {
	most := 0.0
	for i := range models {
		m := &models[i]
		if p := s.Pressure[m.Name] / (1 + s.coming[m.Name]); p >= crowded && p > most {
			to, most = m, p
		}
	}
	for i := range models {
		m := &models[i]
		if m != to && s.Pressure[m.Name] <= relaxed && (from == nil || s.Pressure[m.Name] < s.Pressure[from.Name]) {
			from = m
		}
	}
	if to == nil || from == nil {
		return nil, nil
	}
	return to, from
}

// plan returns what a reshape of a domain would take, nil when it cannot be made there: enough open groups of from, which
// the work asked of from does not need.
func (s *supply) plan(domain string, to, from *route.Model, groups map[string]*group) *reshape {
	missing := to.Size
	for _, m := range s.Members {
		if m.Domain == domain && s.free[m.ID] && (slices.Contains(m.Staged, to.Name) || m.Busy) {
			missing-- // it has the weights, or loads some
		}
	}
	if missing <= 0 {
		return nil // a group forms, or will once weights have come
	}
	r := &reshape{to: to, from: from}
	for _, key := range slices.Sorted(maps.Keys(groups)) {
		g := groups[key]
		head := g.members[0]
		if g.model != from || head == nil || head.Membership.State != roster.Open || len(g.members) != from.Size {
			continue
		}
		var ids []string
		for _, m := range g.members {
			if m.Domain == domain && m.usable() && !m.Busy {
				ids = append(ids, m.ID)
			}
		}
		if len(ids) != from.Size {
			continue
		}
		slices.Sort(ids)
		r.groups = append(r.groups, key)
		r.hosts = append(r.hosts, ids[:min(len(ids), missing)]...)
		if missing -= len(ids); missing <= 0 {
			break
		}
	}
	left := s.serving[from.Name] - s.given[from.Name] - float64(len(r.groups))
	if missing > 0 || left < 1 || s.Pressure[from.Name]*s.serving[from.Name]/left > relaxed {
		return nil
	}
	return r
}

// done marks the groups of a reshape as ending once its hosts have the weights, and tells whether they have all ended.
func (r *reshape) done(now time.Time, s *supply, groups map[string]*group) bool {
	staged := 0
	for _, m := range s.Members {
		if slices.Contains(r.hosts, m.ID) && slices.Contains(m.Staged, r.to.Name) {
			staged++
		}
	}
	left := 0
	for _, key := range r.groups {
		if g := groups[key]; g != nil && g.members[0] != nil {
			left++
			g.ending = g.ending || staged == len(r.hosts)
		}
	}
	return left == 0 || now.After(r.until)
}

// finish returns the order that brings the end of a whole group nearer: its head takes no more requests, finishes those
// that it has, and leaves; the other members are free then.
func (p *Planner) finish(g *group, head *Member) []Order {
	if _, ok := p.pending[head.ID]; ok {
		return nil
	}
	const why = "makes room for another model"
	switch head.Membership.State {
	case roster.Open:
		return []Order{p.tell(head, g, platform.CloseHead, why)}
	case roster.Joined:
		return []Order{p.tell(head, g, platform.Leave, why)}
	case roster.NoGroup, roster.Joining, roster.Closing, roster.Broken:
	}
	return nil
}
