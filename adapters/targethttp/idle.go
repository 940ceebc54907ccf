package targethttp

import "time"

// HasIdle reports whether an idle connection to the target is open. Targets close connections earlier than they say; those are removed.
func (p *Pool) HasIdle(key string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[key]
	for len(conns) > 0 {
		last := conns[len(conns)-1]
		if time.Now().Before(last.expires) && last.usable() {
			return true
		}
		_ = last.Close() // usable may have read a byte that belongs to no answer
		conns[len(conns)-1] = nil
		conns = conns[:len(conns)-1]
		p.idle[key] = conns
	}
	delete(p.idle, key)
	return false
}
