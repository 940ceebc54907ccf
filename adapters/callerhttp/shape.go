package callerhttp

import "github.com/azurebarrow/azurebarrow/generation"

// responseFormat builds the JSON documents of one kind of completion call.
type responseFormat interface {
	// isChat reports whether requests hold messages instead of a prompt.
	isChat() bool
	// chunk returns the document of one event of a stream.
	chunk(id, model string, event generation.Event) any
	// fullResponse returns the document of a complete answer that is not streamed.
	fullResponse(id string, request generation.Request, text string, finish generation.FinishReason, tokens int) any
}

type usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

type completion[C any] struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Model   string `json:"model"`
	Choices []C    `json:"choices"`
	Usage   *usage `json:"usage,omitempty"`
}

type textChoice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

type chatChunkChoice struct {
	Index        int       `json:"index"`
	Delta        chatDelta `json:"delta"`
	FinishReason *string   `json:"finish_reason"`
}

type chatDelta struct {
	Content string `json:"content,omitempty"`
}

type chatChoice struct {
	Index        int     `json:"index"`
	Message      message `json:"message"`
	FinishReason *string `json:"finish_reason"`
}

func finishReason(finish generation.FinishReason) *string {
	if finish == "" {
		return nil
	}
	text := string(finish)
	return &text
}

// textFormat is the format of /v1/completions.
type textFormat struct{}

func (textFormat) isChat() bool { return false }

func (textFormat) chunk(id, model string, event generation.Event) any {
	return completion[textChoice]{ID: id, Object: "text_completion", Model: model,
		Choices: []textChoice{{Text: event.Token.Text, FinishReason: finishReason(event.Finish)}}}
}

func (textFormat) fullResponse(id string, request generation.Request, text string, finish generation.FinishReason, tokens int) any {
	return completion[textChoice]{ID: id, Object: "text_completion", Model: request.Deployment,
		Choices: []textChoice{{Text: text, FinishReason: finishReason(finish)}}, Usage: &usage{tokens}}
}

// chatFormat is the format of /v1/chat/completions.
type chatFormat struct{}

func (chatFormat) isChat() bool { return true }

func (chatFormat) chunk(id, model string, event generation.Event) any {
	return completion[chatChunkChoice]{ID: id, Object: "chat.completion.chunk", Model: model,
		Choices: []chatChunkChoice{{Delta: chatDelta{event.Token.Text}, FinishReason: finishReason(event.Finish)}}}
}

func (chatFormat) fullResponse(id string, request generation.Request, text string, finish generation.FinishReason, tokens int) any {
	return completion[chatChoice]{ID: id, Object: "chat.completion", Model: request.Deployment,
		Choices: []chatChoice{{Message: message{Role: "assistant", Content: text}, FinishReason: finishReason(finish)}}, Usage: &usage{tokens}}
}
