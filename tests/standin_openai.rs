//! An ordinary client library against the whole path: models, completions, chats, streams.

mod common {
    pub mod caller;
    pub mod cluster;
    pub mod links;
    pub mod ports;
    pub mod process;
}

use {
    async_openai::{
        Client,
        config::OpenAIConfig,
        types::{
            chat::{
                ChatCompletionRequestUserMessageArgs, CreateChatCompletionRequest,
                CreateChatCompletionRequestArgs,
            },
            completions::{CreateCompletionRequest, CreateCompletionRequestArgs},
        },
    },
    common::cluster::{Cluster, ClusterPlan},
    futures::StreamExt,
    greengagetrail::standin::ReferenceText,
};

const TOKENS: u32 = 12;

fn completion(model: &str, prompt: &str) -> CreateCompletionRequest {
    CreateCompletionRequestArgs::default()
        .model(model)
        .prompt(prompt)
        .max_tokens(TOKENS)
        .build()
        .unwrap()
}

fn chat(model: &str, content: &str) -> CreateChatCompletionRequest {
    let message = ChatCompletionRequestUserMessageArgs::default()
        .content(content)
        .build()
        .unwrap();
    CreateChatCompletionRequestArgs::default()
        .model(model)
        .max_completion_tokens(TOKENS)
        .messages([message.into()])
        .build()
        .unwrap()
}

#[tokio::test]
async fn an_ordinary_client_lists_completes_chats_and_streams() {
    let cluster = Cluster::start_published(ClusterPlan::default()).await;
    let base = format!("http://{}/v1", cluster.vms[1].callers_address);
    let config = OpenAIConfig::new().with_api_base(base).with_api_key("none");
    let client = Client::with_config(config);

    let models = client.models().list().await.unwrap();
    let mut names: Vec<&str> = models.data.iter().map(|model| model.id.as_str()).collect();
    names.sort_unstable();
    assert_eq!(names, ["adapter-0", "model-0", "model-1"]);

    let whole = client
        .completions()
        .create(completion("model-0", "barley"))
        .await
        .unwrap();
    let expected = ReferenceText::new("model-0", "barley");
    assert_eq!(whole.choices[0].text, expected.text(0..TOKENS));

    let request = completion("model-1", "barley");
    let mut stream = client.completions().create_stream(request).await.unwrap();
    let mut text = String::new();
    while let Some(part) = stream.next().await {
        text += &part.unwrap().choices[0].text;
    }
    assert_eq!(
        text,
        ReferenceText::new("model-1", "barley").text(0..TOKENS)
    );

    let expected = ReferenceText::new("adapter-0", "user: malt\n").text(0..TOKENS);
    let answer = client
        .chat()
        .create(chat("adapter-0", "malt"))
        .await
        .unwrap();
    assert_eq!(
        answer.choices[0].message.content.as_deref(),
        Some(&*expected)
    );

    let mut stream = client
        .chat()
        .create_stream(chat("adapter-0", "malt"))
        .await
        .unwrap();
    let mut text = String::new();
    while let Some(part) = stream.next().await {
        text += part.unwrap().choices[0]
            .delta
            .content
            .as_deref()
            .unwrap_or_default();
    }
    assert_eq!(text, expected);

    let unknown = client
        .completions()
        .create(completion("nothing", "x"))
        .await;
    assert!(unknown.is_err());
}
