//! `/v1/models`: lists the models and adapters that callers may name in requests.

use {
    crate::{config::Catalog, entry::Entry, http::Body},
    hyper::{Response, header},
    serde::Serialize,
};

#[derive(Debug, Serialize)]
struct ModelList<'a> {
    object: &'static str,
    data: Vec<ListedModel<'a>>,
}

#[derive(Debug, Serialize)]
struct ListedModel<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    owned_by: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    parent: Option<&'a str>,
}

impl Entry {
    /// Returns the list of configured models and adapters in the format of the OpenAI API.
    pub(in crate::entry) fn list_models(&self) -> Response<Body> {
        let routes = self.routes.current();
        let list = ModelList {
            object: "list",
            data: listed_models(&routes.view.catalog),
        };
        let text = serde_json::to_string(&list).unwrap_or_default();
        let mut response = Response::new(Body::from(text));
        response.headers_mut().insert(
            header::CONTENT_TYPE,
            header::HeaderValue::from_static("application/json"),
        );
        response
    }
}

fn listed_models(catalog: &Catalog) -> Vec<ListedModel<'_>> {
    let models = catalog
        .models
        .iter()
        .map(|model| (model.name.as_str(), None));
    let adapters = catalog
        .adapters
        .iter()
        .map(|adapter| (adapter.name.as_str(), Some(adapter.model.as_str())));
    models
        .chain(adapters)
        .map(|(id, parent)| ListedModel {
            id,
            object: "model",
            created: 0,
            owned_by: "greengagetrail",
            parent,
        })
        .collect()
}
