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

// outputTokensPattern matches the text by which a message sets the number of output tokens.
var outputTokensPattern = regexp.MustCompile(`#tokens=(\d{1,6})`)

// wordBytes is the length of a generated token with its space.
const wordBytes = 4

// generation is one chat request in progress.
type generation struct {
	ctx          context.Context
	w            http.ResponseWriter
	faults       Faults
	chat         engine.Chat
	id           string
	offset       int
	words        []string
	finishReason string
	usage        engine.Usage
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	f := e.nextFaults()
	if f.Refuse {
		panic(http.ErrAbortHandler)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if f.CrashText != "" && strings.Contains(string(body), f.CrashText) {
		e.Crash(time.Duration(f.Restart))
		panic(http.ErrAbortHandler)
	}
	e.mu.Lock()
	crash := e.crashed
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
	sleepOrAbort(ctx, time.Duration(f.Latency))
	if f.Status != 0 {
		http.Error(w, "injected fault", f.Status)
		return
	}
	g := &generation{ctx: ctx, w: w, faults: f, id: r.Header.Get(engine.HeaderRequest)}
	if err := json.Unmarshal(body, &g.chat); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if f.WrongID {
		g.id = "crossed-" + g.id
	}
	if !f.NoResume {
		g.offset, _ = strconv.Atoi(r.Header.Get(engine.HeaderResumeOffset))
	}
	priority, _ := strconv.Atoi(r.Header.Get(engine.HeaderPriority))
	if e.batch.acquire(ctx, priority) != nil {
		panic(http.ErrAbortHandler)
	}
	defer e.batch.release()
	e.execute(g)
}

func (e *Engine) execute(g *generation) {
	g.generate()
	history := engine.HistoryDigests(g.chat.Messages)
	e.mu.Lock()
	cached, _ := e.cache.match(history)
	e.stats.Recomputed += max(0, e.CacheIndex.match(history, tokenCounts(g.chat.Messages))-cached)
	e.mu.Unlock()
	prompt := g.chat.PromptTokens()
	g.usage = engine.Usage{Prompt: prompt, Completion: chestnutcleat.Tokens(len(g.words)), Total: prompt + chestnutcleat.Tokens(len(g.words)), Details: &engine.PromptDetails{Cached: cached}}
	sleepOrAbort(g.ctx, seconds(float64(prompt-cached)/e.Prefill))
	e.record(g.chat.Messages, g.usage)
	if g.chat.Stream {
		e.sendStream(g)
	} else {
		e.sendCompletion(g)
	}
	answer := engine.NewMessage("assistant", strings.Join(g.words, ""))
	e.record(append(g.chat.Messages[:len(g.chat.Messages):len(g.chat.Messages)], answer), engine.Usage{Completion: g.usage.Completion})
}

// record adds the messages to the cache and the usage to the counters.
func (e *Engine) record(messages []engine.Message, u engine.Usage) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.insert(engine.HistoryDigests(messages), tokenCounts(messages))
	e.stats.Prompt += u.Prompt
	e.stats.Output += u.Completion
	if u.Details != nil {
		e.stats.Cached += u.Details.Cached
	}
}

func tokenCounts(messages []engine.Message) []chestnutcleat.Tokens {
	out := make([]chestnutcleat.Tokens, 0, len(messages))
	for _, m := range messages {
		out = append(out, m.Tokens())
	}
	return out
}

// generate computes the output from the messages only, so that all engines give the same output.
func (g *generation) generate() {
	h := fnv.New64a()
	for _, m := range g.chat.Messages {
		h.Write([]byte(m.Role + "\x00" + m.Text() + "\x00"))
	}
	sum := h.Sum64()
	n := 16 + int(sum%48)
	if m := outputTokensPattern.FindStringSubmatch(g.chat.Messages[len(g.chat.Messages)-1].Text()); m != nil {
		n, _ = strconv.Atoi(m[1])
	}
	g.finishReason = engine.FinishStop
	if limit := int(g.chat.MaxTokens); limit > 0 && n > limit {
		n = limit
		g.finishReason = engine.FinishLength
	}
	for i := range n {
		g.words = append(g.words, fmt.Sprintf("%03x ", (sum>>(i%32)+uint64(i)*0x9e37)&0xfff))
	}
}

func (g *generation) setHeaders(contentType string) {
	g.w.Header().Set("Content-Type", contentType)
	g.w.Header().Set(engine.HeaderRequest, g.id)
	if g.offset > 0 {
		g.w.Header().Set(engine.HeaderResumeOffset, strconv.Itoa(g.offset))
	}
}

func (g *generation) newCompletion(object string) engine.Completion {
	return engine.Completion{ID: g.id, Object: object, Created: time.Now().Unix(), Model: g.chat.Model, Choices: []engine.Choice{}}
}

func (e *Engine) sendCompletion(g *generation) {
	sleepOrAbort(g.ctx, seconds(float64(len(g.words))/e.Decode))
	g.setHeaders("application/json")
	m := engine.NewMessage("assistant", strings.Join(g.words, ""))
	c := g.newCompletion(engine.ObjectCompletion)
	c.Choices = append(c.Choices, engine.Choice{Message: &m, FinishReason: &g.finishReason})
	c.Usage = &g.usage
	data, err := json.Marshal(c)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	g.w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if g.faults.CutAfterHeaders {
		g.breakConnection()
	}
	if g.faults.CutBeforeEnd || g.faults.CutAfterTokens > 0 {
		g.w.Write(data[:len(data)/2])
		g.breakConnection()
	}
	g.w.Write(data)
}

func (e *Engine) sendStream(g *generation) {
	g.setHeaders("text/event-stream")
	g.w.WriteHeader(http.StatusOK)
	if g.faults.CutAfterHeaders {
		g.breakConnection()
	}
	first := min(g.offset/wordBytes, len(g.words))
	for i := first; i < len(g.words); i += e.ChunkTokens {
		end := min(i+e.ChunkTokens, len(g.words))
		if g.faults.CutAfterTokens > 0 && i >= g.faults.CutAfterTokens {
			g.breakConnection()
		}
		sleepOrAbort(g.ctx, seconds(float64(end-i)/e.Decode))
		c := g.newCompletion(engine.ObjectChunk)
		c.Choices = append(c.Choices, engine.Choice{Delta: &engine.Delta{Role: "assistant", Content: g.text(i, end)}})
		g.sendEvent(c)
	}
	if g.faults.CutBeforeEnd {
		g.breakConnection()
	}
	last := g.newCompletion(engine.ObjectChunk)
	last.Choices = append(last.Choices, engine.Choice{Delta: &engine.Delta{}, FinishReason: &g.finishReason})
	g.sendEvent(last)
	usage := g.newCompletion(engine.ObjectChunk)
	usage.Usage = &g.usage
	g.sendEvent(usage)
	fmt.Fprint(g.w, "data: [DONE]\n\n")
}

// text joins the words from i to end and leaves out the bytes before the resume offset.
func (g *generation) text(i, end int) string {
	s := strings.Join(g.words[i:end], "")
	return s[min(max(g.offset-i*wordBytes, 0), len(s)):]
}

func (g *generation) sendEvent(c engine.Completion) {
	data, err := json.Marshal(c)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if _, err := fmt.Fprintf(g.w, "data: %s\n\n", data); err != nil {
		panic(http.ErrAbortHandler)
	}
	if err := http.NewResponseController(g.w).Flush(); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// breakConnection sends what was written so far and closes the connection.
func (g *generation) breakConnection() {
	if err := http.NewResponseController(g.w).Flush(); err != nil {
		panic(http.ErrAbortHandler)
	}
	panic(http.ErrAbortHandler)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// sleepOrAbort waits for d; it aborts the request if the client disconnects or the engine crashes.
func sleepOrAbort(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		panic(http.ErrAbortHandler)
	case <-t.C:
	}
}
