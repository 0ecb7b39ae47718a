package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/engine"
)

// length lets a message state how many tokens its answer has.
var length = regexp.MustCompile(`#tokens=(\d{1,6})`)

// wordBytes is the length of a generated token with its space.
const wordBytes = 4

// run is one request in progress.
type run struct {
	ctx    context.Context
	w      http.ResponseWriter
	faults Faults
	chat   engine.Chat
	id     string
	offset int
	words  []string
	finish string
	usage  engine.Usage
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	f := e.next()
	if f.Refuse {
		panic(http.ErrAbortHandler)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if f.Crash != "" && strings.Contains(string(body), f.Crash) {
		e.Crash(time.Duration(f.Restart))
		panic(http.ErrAbortHandler)
	}
	e.mu.Lock()
	crash := e.crash
	e.stats.Requests++
	e.mu.Unlock()
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	go func() {
		select {
		case <-crash:
			cancel()
		case <-ctx.Done():
		}
	}()
	if f.Hang {
		<-ctx.Done()
		panic(http.ErrAbortHandler)
	}
	pause(ctx, time.Duration(f.Latency))
	if f.Status != 0 {
		http.Error(w, "injected fault", f.Status)
		return
	}
	u := &run{ctx: ctx, w: w, faults: f, id: r.Header.Get(engine.HeaderRequest)}
	if err := json.Unmarshal(body, &u.chat); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if f.Crossed {
		u.id = "crossed-" + u.id
	}
	if !f.NoResume {
		u.offset, _ = strconv.Atoi(r.Header.Get(engine.HeaderOffset))
	}
	priority, _ := strconv.Atoi(r.Header.Get(engine.HeaderPriority))
	if e.batch.enter(ctx, priority) != nil {
		panic(http.ErrAbortHandler)
	}
	defer e.batch.leave()
	e.execute(u)
}

func (e *Engine) execute(u *run) {
	u.generate()
	history := engine.History(u.chat.Messages)
	e.mu.Lock()
	cached, _ := e.cache.match(history)
	e.stats.Wasted += max(0, e.Holdings.match(history, sizes(u.chat.Messages))-cached)
	e.mu.Unlock()
	prompt := u.chat.Prompt()
	u.usage = engine.Usage{Prompt: prompt, Completion: chestnutcleat.Tokens(len(u.words)), Total: prompt + chestnutcleat.Tokens(len(u.words)), Details: &engine.Details{Cached: cached}}
	pause(u.ctx, seconds(float64(prompt-cached)/e.Prefill))
	e.keep(u.chat.Messages, u.usage)
	if u.chat.Stream {
		e.stream(u)
	} else {
		e.whole(u)
	}
	answer := engine.NewMessage("assistant", strings.Join(u.words, ""))
	e.keep(append(u.chat.Messages[:len(u.chat.Messages):len(u.chat.Messages)], answer), engine.Usage{Completion: u.usage.Completion})
}

// keep stores the prefix of messages in the cache and counts usage.
func (e *Engine) keep(messages []engine.Message, u engine.Usage) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.store(engine.History(messages), sizes(messages))
	e.stats.Prompt += u.Prompt
	e.stats.Output += u.Completion
	if u.Details != nil {
		e.stats.Cached += u.Details.Cached
	}
}

func sizes(messages []engine.Message) []chestnutcleat.Tokens {
	out := make([]chestnutcleat.Tokens, 0, len(messages))
	for _, m := range messages {
		out = append(out, m.Tokens())
	}
	return out
}

// generate computes the answer from the messages alone, so that every engine gives the same answer.
func (u *run) generate() {
	h := fnv.New64a()
	for _, m := range u.chat.Messages {
		h.Write([]byte(m.Role + "\x00" + m.Text() + "\x00"))
	}
	sum := h.Sum64()
	n := 16 + int(sum%48)
	if m := length.FindStringSubmatch(u.chat.Messages[len(u.chat.Messages)-1].Text()); m != nil {
		n, _ = strconv.Atoi(m[1])
	}
	u.finish = engine.FinishStop
	if limit := int(u.chat.MaxTokens); limit > 0 && n > limit {
		n = limit
		u.finish = engine.FinishLength
	}
	for i := range n {
		u.words = append(u.words, fmt.Sprintf("%03x ", (sum>>(i%32)+uint64(i)*0x9e37)&0xfff))
	}
}

func (u *run) header(kind string) {
	u.w.Header().Set("Content-Type", kind)
	u.w.Header().Set(engine.HeaderRequest, u.id)
	if u.offset > 0 {
		u.w.Header().Set(engine.HeaderOffset, strconv.Itoa(u.offset))
	}
}

func (u *run) completion(object string) engine.Completion {
	return engine.Completion{ID: u.id, Object: object, Created: time.Now().Unix(), Model: u.chat.Model, Choices: []engine.Choice{}}
}

func (e *Engine) whole(u *run) {
	pause(u.ctx, seconds(float64(len(u.words))/e.Decode))
	u.header("application/json")
	m := engine.NewMessage("assistant", strings.Join(u.words, ""))
	c := u.completion(engine.ObjectCompletion)
	c.Choices = append(c.Choices, engine.Choice{Message: &m, Finish: &u.finish})
	c.Usage = &u.usage
	data, err := json.Marshal(c)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	u.w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if u.faults.CutHeaders {
		u.cut()
	}
	if u.faults.LoseEnd || u.faults.Cut > 0 {
		u.w.Write(data[:len(data)/2])
		u.cut()
	}
	u.w.Write(data)
}

func (e *Engine) stream(u *run) {
	u.header("text/event-stream")
	u.w.WriteHeader(http.StatusOK)
	if u.faults.CutHeaders {
		u.cut()
	}
	first := min(u.offset/wordBytes, len(u.words))
	for i := first; i < len(u.words); i += e.Chunk {
		end := min(i+e.Chunk, len(u.words))
		if u.faults.Cut > 0 && i >= u.faults.Cut {
			u.cut()
		}
		pause(u.ctx, seconds(float64(end-i)/e.Decode))
		c := u.completion(engine.ObjectChunk)
		c.Choices = append(c.Choices, engine.Choice{Delta: &engine.Delta{Role: "assistant", Content: u.text(i, end)}})
		u.event(c)
	}
	if u.faults.LoseEnd {
		u.cut()
	}
	last := u.completion(engine.ObjectChunk)
	last.Choices = append(last.Choices, engine.Choice{Delta: &engine.Delta{}, Finish: &u.finish})
	u.event(last)
	usage := u.completion(engine.ObjectChunk)
	usage.Usage = &u.usage
	u.event(usage)
	fmt.Fprint(u.w, "data: [DONE]\n\n")
}

// text returns the words from i to end without the part before the resume offset.
func (u *run) text(i, end int) string {
	s := strings.Join(u.words[i:end], "")
	return s[min(max(u.offset-i*wordBytes, 0), len(s)):]
}

func (u *run) event(c engine.Completion) {
	data, err := json.Marshal(c)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if _, err := fmt.Fprintf(u.w, "data: %s\n\n", data); err != nil {
		panic(http.ErrAbortHandler)
	}
	if err := http.NewResponseController(u.w).Flush(); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// cut breaks the connection after what was written so far has been sent.
func (u *run) cut() {
	if err := http.NewResponseController(u.w).Flush(); err != nil {
		panic(http.ErrAbortHandler)
	}
	panic(http.ErrAbortHandler)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// pause waits for d and aborts the request when the client leaves or the engine crashes.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		panic(http.ErrAbortHandler)
	case <-t.C:
	}
}
